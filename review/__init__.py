"""Cases of an independent review, and the stand-ins that they run against."""
