/**
 * Processes and connections in virtual time that simulate faults such as pauses, crashes
 * and lost frames.
 */
@NullMarked
package org.crocuspost.standin.process;

import org.jspecify.annotations.NullMarked;
