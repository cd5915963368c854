/**
 * Connections between the leader and the agents of hosts. The leader connects to each
 * agent, receives its reports, sends it orders and extends the lease of its worker.
 */
@NullMarked
package org.crocuspost.hostlink;

import org.jspecify.annotations.NullMarked;
