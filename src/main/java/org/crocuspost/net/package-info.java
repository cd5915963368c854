/**
 * Netty event loops and socket types for the network connections of a process.
 */
@NullMarked
package org.crocuspost.net;

import org.jspecify.annotations.NullMarked;
