package org.crocuspost.peer;

import java.util.Objects;

/**
 * Who a process is.
 *
 * @param role the role of the process
 * @param name the name of the process from its settings
 * @param incarnation drawn at random when the process starts
 * @param failureDomain the failure domain from its settings
 */
public record PeerIdentity(Role role, String name, String incarnation, String failureDomain) {

	public PeerIdentity {
		Objects.requireNonNull(role, "role");
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(failureDomain, "failureDomain");
	}

	/**
	 * Role of a process.
	 */
	public enum Role {

		/**
		 * Takes the requests of callers and operators.
		 */
		ENTRY,

		/**
		 * Places batch tasks.
		 */
		SCHEDULER,

		/**
		 * Runs beside an endpoint and its worker.
		 */
		AGENT

	}

}
