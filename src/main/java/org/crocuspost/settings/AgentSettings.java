package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Objects;

import org.crocuspost.platform.http.PlatformUrl;
import org.crocuspost.platform.worker.Resources;

/**
 * Holds the settings of an agent.
 *
 * @param name the name, unique among agents
 * @param failureDomain the failure domain of the host
 * @param rack the rack of the host
 * @param monitoring the address on which the agent serves metrics and health; port 0
 * selects any free port
 * @param secret the secret that all processes of the deployment share
 * @param platform the connections to the platform's stores
 * @param endpoint the endpoint on the agent's host
 * @param worker the worker on the agent's host
 * @param entryConnections the maximum number of entries to which the agent connects
 * @param times time limits and intervals
 */
public record AgentSettings(String name, String failureDomain, String rack, InetSocketAddress monitoring, Secret secret,
		PlatformSettings platform, Endpoint endpoint, Worker worker, int entryConnections, Times times) {

	/**
	 * The default maximum number of entries to which an agent connects.
	 */
	public static final int DEFAULT_ENTRY_CONNECTIONS = 3;

	public AgentSettings {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(rack, "rack");
	}

	/**
	 * Describes the endpoint on the agent's host.
	 *
	 * @param id the identifier, unique in the deployment
	 * @param service the service that the endpoint offers
	 * @param url the URL of the endpoint: scheme, host and port
	 * @param slots the maximum number of requests that run at the same time
	 * @param connections the maximum number of connections to the endpoint
	 * @param queue the maximum number of requests that wait for a slot
	 */
	public record Endpoint(String id, String service, URI url, int slots, int connections, int queue) {

		/**
		 * The default number of slots of an endpoint.
		 */
		public static final int DEFAULT_SLOTS = 8;

		/**
		 * The default maximum number of connections to an endpoint.
		 */
		public static final int DEFAULT_CONNECTIONS = 64;

		/**
		 * The default maximum number of requests that wait for a slot.
		 */
		public static final int DEFAULT_QUEUE = 16;

		public Endpoint {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(service, "service");
			Objects.requireNonNull(url, "url");
		}

	}

	/**
	 * Describes the worker on the agent's host.
	 *
	 * @param name the name, unique in the deployment
	 * @param runtime the address of the worker runtime
	 * @param capacity all resources of the worker
	 * @param reservedForService the part of the capacity that batch tasks never get
	 */
	public record Worker(String name, PlatformUrl runtime, Resources capacity, Resources reservedForService) {

		public Worker {
			Objects.requireNonNull(name, "name");
			Objects.requireNonNull(runtime, "runtime");
		}

	}

	/**
	 * Holds time limits and intervals.
	 *
	 * @param heartbeat the interval between two reports of the agent
	 * @param startBudget the maximum age of the report on which a start command is based
	 * @param taskLease the duration of a task lease
	 * @param checkpointInterval the interval between two checkpoints of a running task
	 * @param drain the maximum time for which a stopping agent completes work in progress
	 */
	public record Times(Duration heartbeat, Duration startBudget, Duration taskLease, Duration checkpointInterval,
			Duration drain) {

		/**
		 * The default times.
		 */
		public static final Times DEFAULT = new Times(Duration.ofSeconds(1), Duration.ofSeconds(3),
				Duration.ofSeconds(15), Duration.ofMinutes(1), Duration.ofSeconds(20));

	}

}
