/**
 * Metrics and health checks of a process and the HTTP server that exposes them.
 */
@NullMarked
package org.crocuspost.metrics;

import org.jspecify.annotations.NullMarked;
