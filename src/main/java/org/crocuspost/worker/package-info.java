/**
 * Agent side of batch work: the worker's account, task leases and task commands.
 */
@NullMarked
package org.crocuspost.worker;

import org.jspecify.annotations.NullMarked;
