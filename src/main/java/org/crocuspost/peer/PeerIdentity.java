package org.crocuspost.peer;

import java.util.Objects;

/**
 * Identifies a process of the deployment.
 *
 * @param role the role of the process
 * @param name the name of the process from its settings
 * @param incarnation a random value generated when the process starts; distinguishes it
 * from earlier processes with the same name
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
	 * Roles of processes.
	 */
	public enum Role {

		/**
		 * Accepts the requests of callers and operators.
		 */
		ENTRY,

		/**
		 * Places batch tasks.
		 */
		SCHEDULER,

		/**
		 * Runs next to an endpoint and its worker.
		 */
		AGENT

	}

}
