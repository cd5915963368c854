/**
 * Metrics and health of a process, served over HTTP.
 */
@NullMarked
package org.crocuspost.metrics;

import org.jspecify.annotations.NullMarked;
