# Minimizes waiting: ranks urgent and long-waiting work first, and places tasks on the emptiest VMs.

def admit(work):
    return True

def rank(work):
    urgent = 1000 if work["urgent"] else 0
    return urgent + work["priority"] + work["waited_seconds"] / 10.0

def score(work, vm):
    return vm["free_fraction"] - vm["failure_streak"]

def preempt(work, victim):
    if victim["priority"] < work["priority"]:
        return "checkpoint"
    return ""

def backoff_seconds(work, failures):
    return min(60, 1 << failures)
