/**
 * Leadership: one process decides on all jobs; others take over when it falls silent.
 */
@NullMarked
package org.crocuspost.lead;

import org.jspecify.annotations.NullMarked;
