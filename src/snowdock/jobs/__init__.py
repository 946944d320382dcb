"""Jobs on shared pools of workers: acceptance, placement, execution and status.

One elected node, the leader, makes all scheduling decisions and calls the workers. Every node
accepts jobs and serves their status. Durable state is kept in the platform's store, see
``docs/design/platform.md``.
"""
