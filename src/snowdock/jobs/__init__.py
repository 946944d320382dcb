"""Jobs on a shared pool of workers: taking in, placing, running and reporting them.

One node at a time leads: it alone decides and orders. All nodes take jobs in and answer for
them. What must last lies in the platform's store; ``docs/design/platform.md`` has the rules.
"""
