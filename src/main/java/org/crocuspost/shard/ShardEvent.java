package org.crocuspost.shard;

import org.crocuspost.log.LogEvent;

/**
 * Log events of scheduling leases.
 */
public enum ShardEvent implements LogEvent {

	/**
	 * The row of a lease is malformed, since another writer left it. It is replaced like
	 * that of a holder that has ended.
	 */
	SHARD_ROW_IGNORED

}
