"""Analysis of log lines: outcomes of requests and their causes."""
