/**
 * Decisions on batch work and lasting services: which job goes next, which worker gets a
 * task and what to do about its end. Events and the time go in, orders come out; nothing
 * here does input or output.
 */
@NullMarked
package org.crocuspost.dispatch;

import org.jspecify.annotations.NullMarked;
