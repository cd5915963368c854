/**
 * Connections between the leader and the agents of hosts.
 */
@NullMarked
package org.crocuspost.hostlink;

import org.jspecify.annotations.NullMarked;
