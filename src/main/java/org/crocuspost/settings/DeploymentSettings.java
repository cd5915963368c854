package org.crocuspost.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.crocuspost.platform.worker.Resources;

/**
 * A whole deployment that runs in one process on stand-ins.
 *
 * @param name the name of the deployment
 * @param callers where the first entry listens for callers; port 0 for any free port
 * @param operators where the first entry listens for operators; port 0 for any free port
 * @param secret the secret that all processes share
 * @param operatorToken the bearer token of operators
 * @param failureDomains all failure domains
 * @param entries the entries
 * @param schedulers the schedulers
 * @param workers the workers, each with an agent
 * @param note the file of the first release note, relative to the settings
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
	 * An entry or a scheduler.
	 *
	 * @param name the name
	 * @param failureDomain the failure domain
	 */
	public record ControlProcess(String name, String failureDomain) {
	}

	/**
	 * A worker, the endpoint on it and the agent beside both.
	 *
	 * @param name the name of the worker and of its agent
	 * @param failureDomain the failure domain
	 * @param rack the rack
	 * @param capacity all resources of the worker
	 * @param reservedForService what batch work never gets
	 * @param endpoint the endpoint on the worker
	 */
	public record WorkerHost(String name, String failureDomain, String rack, Resources capacity,
			Resources reservedForService, EndpointStandIn endpoint) {
	}

	/**
	 * An endpoint that is played by a stand-in.
	 *
	 * @param id the identity
	 * @param service the service
	 * @param slots the most requests that run at the same time
	 * @param connections the most connections
	 * @param serviceTime how long the endpoint takes for a request
	 */
	public record EndpointStandIn(String id, String service, int slots, int connections, Duration serviceTime) {
	}

}
