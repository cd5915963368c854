package org.crocuspost.local;

import java.util.Objects;

import org.crocuspost.daemon.AgentProcess;
import org.crocuspost.settings.DeploymentSettings.WorkerHost;
import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.crocuspost.standin.worker.WorkerStandIn;

/**
 * Worker of a local deployment with its endpoint and its agent.
 *
 * @param host the worker as declared in the settings
 * @param runtime the stand-in for the worker runtime, which records the attempts with
 * their start and end times
 * @param endpoint the stand-in for the endpoint, which records the requests that it ran
 * @param agent the agent
 */
public record LocalWorker(WorkerHost host, WorkerStandIn runtime, EndpointStandIn endpoint, AgentProcess agent) {

	public LocalWorker {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(runtime, "runtime");
		Objects.requireNonNull(endpoint, "endpoint");
		Objects.requireNonNull(agent, "agent");
	}

}
