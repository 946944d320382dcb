# For services: spreads tasks over data halls, racks and VMs.

def admit(work):
    return True

def rank(work):
    return 100 + work["priority"]

def score(work, vm):
    crowd = vm["same_hall"] * 4.0 + vm["same_rack"] * 2.0 + vm["same_vm"] * 8.0
    return vm["free_fraction"] - crowd - vm["failure_streak"]

def preempt(work, victim):
    if victim["priority"] < work["priority"]:
        return "checkpoint"
    return ""

def backoff_seconds(work, failures):
    return min(30, 1 << failures)
