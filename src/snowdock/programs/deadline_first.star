# For jobs with an objective: urgent queues first, then what has least time left. What is late
# already is worth little and goes behind what can still be in time. Of one queue, work of a team
# that has more than twice its share of the room goes behind that of others.

def admit(work):
    return True

def rank(work):
    base = work["priority"] * 100
    if work["overdue"] > 3.0:
        base -= 100000
    elif work["overdue"] > 1.0 or work["slack_seconds"] < -0.5:
        base -= 10000
    elif work["share_used"] > 2.0:
        base -= 300
    return base - min(max(work["slack_seconds"], -60.0), 60.0)

def score(work, vm):
    # Fast VMs first, then best fit: large free rooms stay whole for large tasks.
    return 1.0 - vm["free_fraction"] * 0.5 - vm["slowness"] - vm["failure_streak"] * 0.2

def preempt(work, victim):
    # What can wait makes room for what cannot; a gang finds its room at once or not at all.
    if work["overdue"] > 1.0 or victim["priority"] >= work["priority"]:
        return ""
    return "checkpoint" if victim["slack_seconds"] > 2.0 else ""

def backoff_seconds(work, failures):
    # One failure in a row is mostly chance, and the next try goes elsewhere anyway.
    return 0.0 if failures < 2 else min(2.0, 0.05 * (1 << failures))
