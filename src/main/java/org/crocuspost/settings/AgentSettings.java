package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Objects;

import org.crocuspost.platform.http.PlatformUrl;
import org.crocuspost.platform.worker.Resources;

/**
 * Settings of an agent.
 *
 * @param name the name, unique among agents
 * @param failureDomain the failure domain of the host
 * @param rack the rack of the host
 * @param monitoring where the agent serves metrics and health; port 0 for any free port
 * @param secret the secret that all processes of the deployment share
 * @param platform how the agent reaches the platform's stores
 * @param endpoint the endpoint beside the agent
 * @param worker the worker beside the agent
 * @param entryConnections the most entries to which the agent connects
 * @param times time limits and intervals
 */
public record AgentSettings(String name, String failureDomain, String rack, InetSocketAddress monitoring, Secret secret,
		PlatformSettings platform, Endpoint endpoint, Worker worker, int entryConnections, Times times) {

	/**
	 * The most entries to which an agent connects unless the settings say otherwise.
	 */
	public static final int DEFAULT_ENTRY_CONNECTIONS = 3;

	public AgentSettings {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(rack, "rack");
	}

	/**
	 * The endpoint beside the agent.
	 *
	 * @param id the identity, unique in the deployment
	 * @param service the service that the endpoint offers
	 * @param url scheme, host and port
	 * @param slots the most requests that run at the same time
	 * @param connections the most connections to the endpoint
	 * @param queue the most requests that wait for a slot
	 */
	public record Endpoint(String id, String service, URI url, int slots, int connections, int queue) {

		/**
		 * Slots of an endpoint unless the settings say otherwise.
		 */
		public static final int DEFAULT_SLOTS = 8;

		/**
		 * Connections to an endpoint unless the settings say otherwise.
		 */
		public static final int DEFAULT_CONNECTIONS = 64;

		/**
		 * Requests that wait unless the settings say otherwise.
		 */
		public static final int DEFAULT_QUEUE = 16;

		public Endpoint {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(service, "service");
			Objects.requireNonNull(url, "url");
		}

	}

	/**
	 * The worker beside the agent.
	 *
	 * @param name the name, unique in the deployment
	 * @param runtime address of the worker runtime
	 * @param capacity all resources of the worker
	 * @param reservedForService what batch work never gets
	 */
	public record Worker(String name, PlatformUrl runtime, Resources capacity, Resources reservedForService) {

		public Worker {
			Objects.requireNonNull(name, "name");
			Objects.requireNonNull(runtime, "runtime");
		}

	}

	/**
	 * Time limits and intervals.
	 *
	 * @param heartbeat the time between two reports
	 * @param startBudget how old the report may be on which a start command rests
	 * @param taskLease the length of a task lease
	 * @param checkpointInterval the time between two checkpoints of a running task
	 * @param drain how long the agent finishes what is in flight when it stops
	 */
	public record Times(Duration heartbeat, Duration startBudget, Duration taskLease, Duration checkpointInterval,
			Duration drain) {

		/**
		 * Times that apply unless the settings say otherwise.
		 */
		public static final Times DEFAULT = new Times(Duration.ofSeconds(1), Duration.ofSeconds(3),
				Duration.ofSeconds(15), Duration.ofMinutes(1), Duration.ofSeconds(20));

	}

}
