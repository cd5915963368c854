/**
 * The agent on the host of a worker. It carries out the leader's orders and is the only
 * process that gives orders to the worker.
 */
@NullMarked
package org.crocuspost.host;

import org.jspecify.annotations.NullMarked;
