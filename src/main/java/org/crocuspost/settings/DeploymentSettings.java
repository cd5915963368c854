package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.crocuspost.platform.worker.Resources;

/**
 * Holds the settings of a whole deployment that runs in one process, with in-process
 * replacements (stand-ins) for the platform services and the endpoints.
 *
 * @param name the name of the deployment
 * @param callers the address on which the first entry listens for callers; port 0 selects
 * any free port
 * @param operators the address on which the first entry listens for operators; port 0
 * selects any free port
 * @param secret the secret that all processes share
 * @param operatorToken the bearer token of operators
 * @param failureDomains all failure domains
 * @param entries the entries
 * @param schedulers the schedulers
 * @param workers the workers, each with an agent
 * @param note the name of the file with the first release note, relative to the folder of
 * the settings file
 */
public record DeploymentSettings(String name, InetSocketAddress callers, InetSocketAddress operators, Secret secret,
		Secret operatorToken, List<String> failureDomains, List<ControlProcess> entries,
		List<ControlProcess> schedulers, List<WorkerHost> workers, String note) {

	public DeploymentSettings {
		Objects.requireNonNull(name, "name");
		failureDomains = List.copyOf(failureDomains);
		entries = List.copyOf(entries);
		schedulers = List.copyOf(schedulers);
		workers = List.copyOf(workers);
	}

	/**
	 * Describes an entry or a scheduler.
	 *
	 * @param name the name
	 * @param failureDomain the failure domain
	 */
	public record ControlProcess(String name, String failureDomain) {
	}

	/**
	 * Describes a host with a worker, an endpoint and the agent of both.
	 *
	 * @param name the name of the worker and of its agent
	 * @param failureDomain the failure domain
	 * @param rack the rack
	 * @param capacity all resources of the worker
	 * @param reservedForService the part of the capacity that batch tasks never get
	 * @param endpoint the endpoint on the host
	 */
	public record WorkerHost(String name, String failureDomain, String rack, Resources capacity,
			Resources reservedForService, EndpointStandIn endpoint) {
	}

	/**
	 * Describes the stand-in for an endpoint.
	 *
	 * @param id the identifier, unique in the deployment
	 * @param service the service that the endpoint offers
	 * @param slots the maximum number of requests that run at the same time
	 * @param connections the maximum number of connections
	 * @param serviceTime the time that the endpoint takes for a request
	 */
	public record EndpointStandIn(String id, String service, int slots, int connections, Duration serviceTime) {
	}

}
