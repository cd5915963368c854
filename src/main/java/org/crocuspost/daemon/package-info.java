/**
 * Main classes of the daemons and what they share: command line, start and graceful stop.
 */
@NullMarked
package org.crocuspost.daemon;

import org.jspecify.annotations.NullMarked;
