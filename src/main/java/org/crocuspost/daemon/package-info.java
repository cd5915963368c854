/**
 * Main classes of the entry, scheduler and agent daemons, and the code that they share:
 * command line, wiring of components, start and graceful stop.
 */
@NullMarked
package org.crocuspost.daemon;

import org.jspecify.annotations.NullMarked;
