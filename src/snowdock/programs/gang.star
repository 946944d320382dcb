# For gangs: packs tasks into as few racks as possible, on VMs that are already in use.

def admit(work):
    return True

def rank(work):
    urgent = 1000 if work["urgent"] else 0
    return urgent + work["priority"] + work["waited_seconds"] / 5.0

def score(work, vm):
    return vm["same_rack"] * 0.5 + (1.0 - vm["free_fraction"]) - vm["failure_streak"]

def preempt(work, victim):
    if victim["priority"] < work["priority"]:
        return "checkpoint"
    return ""

def backoff_seconds(work, failures):
    return min(120, 2 << failures)
