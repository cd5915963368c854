/**
 * A whole deployment in one process, on stand-ins for the platform.
 */
@NullMarked
package org.crocuspost.local;

import org.jspecify.annotations.NullMarked;
