/**
 * Sockets and event loops of a process.
 */
@NullMarked
package org.crocuspost.net;

import org.jspecify.annotations.NullMarked;
