"""The daemon of an entry VM: takes jobs in, answers for them, and leads when it is elected."""
