# Best fit: places tasks on the fullest VMs, to keep other VMs empty.

def admit(work):
    return True

def rank(work):
    urgent = 1000 if work["urgent"] else 0
    return urgent + work["priority"]

def score(work, vm):
    return 1.0 - vm["free_fraction"] - vm["failure_streak"]

def preempt(work, victim):
    if work["urgent"] and victim["priority"] < work["priority"]:
        return "checkpoint"
    return ""

def backoff_seconds(work, failures):
    return min(300, 1 << failures)
