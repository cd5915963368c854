/**
 * Distributes the configuration from the table to entries and schedulers and from entries
 * to agents, and collects the confirmations of the version on which each process acts.
 */
@NullMarked
package org.crocuspost.distribution;

import org.jspecify.annotations.NullMarked;
