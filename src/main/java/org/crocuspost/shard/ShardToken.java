package org.crocuspost.shard;

/**
 * Proves that a process holds a valid scheduling lease. Transactions use it as a
 * condition.
 *
 * @param domain the failure domain
 * @param epoch the fencing token
 * @param rowVersion the version of the row of the lease; a transaction that requires it
 * fails once another process has acquired the lease
 */
public record ShardToken(String domain, long epoch, long rowVersion) {
}
