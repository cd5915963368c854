package org.crocuspost.shard;

/**
 * Proof of a valid scheduling lease, to be used as a condition of a transaction.
 *
 * @param domain the failure domain
 * @param epoch the fencing token
 * @param rowVersion the version of the lease's row; a transaction that requires it fails
 * once another process has taken the lease
 */
public record ShardToken(String domain, long epoch, long rowVersion) {
}
