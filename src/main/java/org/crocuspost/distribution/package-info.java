/**
 * Distribution of the configuration: from the table to entries and schedulers, from
 * entries to agents, and the confirmations back.
 */
@NullMarked
package org.crocuspost.distribution;

import org.jspecify.annotations.NullMarked;
