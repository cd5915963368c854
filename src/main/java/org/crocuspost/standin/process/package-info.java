/**
 * Processes and connections in virtual time, with switches for their faults.
 */
@NullMarked
package org.crocuspost.standin.process;

import org.jspecify.annotations.NullMarked;
