/**
 * Scheduling leases, one for each failure domain, stored in the table service. Only the
 * scheduler that holds the lease of a failure domain assigns tasks to its workers. A
 * shard is the part of the scheduling work that belongs to one failure domain.
 */
@NullMarked
package org.crocuspost.shard;

import org.jspecify.annotations.NullMarked;
