/**
 * Scheduling leases, one for each failure domain, stored in the table service. Only the
 * scheduler that holds the lease of a failure domain assigns tasks to its workers.
 */
@NullMarked
package org.crocuspost.shard;

import org.jspecify.annotations.NullMarked;
