# For jobs with a latency target: orders work by queue priority, then by least slack. Work that
# has missed its target ranks behind work that can still meet it. Within a queue, work of a team
# that uses more than twice its share ranks behind the work of other teams.

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
    # Prefers fast VMs, then the best fit, to keep large VMs free for large tasks.
    return 1.0 - vm["free_fraction"] * 0.5 - vm["slowness"] - vm["failure_streak"] * 0.2

def preempt(work, victim):
    # Preempts only work of lower priority that has slack left, and never for overdue work.
    if work["overdue"] > 1.0 or victim["priority"] >= work["priority"]:
        return ""
    return "checkpoint" if victim["slack_seconds"] > 2.0 else ""

def backoff_seconds(work, failures):
    # Retries a first failure at once, since the next attempt usually runs on another VM.
    return 0.0 if failures < 2 else min(2.0, 0.05 * (1 << failures))
