package org.crocuspost.local;

import java.util.Objects;

import org.crocuspost.daemon.AgentProcess;
import org.crocuspost.settings.DeploymentSettings.WorkerHost;
import org.crocuspost.standin.endpoint.EndpointStandIn;
import org.crocuspost.standin.worker.WorkerStandIn;

/**
 * One worker of a local deployment with its endpoint and its agent.
 *
 * @param host the declared worker
 * @param runtime the stand-in for the worker runtime, which records what ran when
 * @param endpoint the stand-in for the endpoint, which records what it ran
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
