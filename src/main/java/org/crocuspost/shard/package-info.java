/**
 * Scheduling leases, one for each failure domain, kept in the table.
 */
@NullMarked
package org.crocuspost.shard;

import org.jspecify.annotations.NullMarked;
