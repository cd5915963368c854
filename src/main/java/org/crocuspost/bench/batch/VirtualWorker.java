package org.crocuspost.bench.batch;

import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.standin.process.VirtualProcess;
import org.crocuspost.standin.worker.WorkerStandIn;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.worker.ReportContributor;
import org.crocuspost.worker.TaskAgent;
import org.crocuspost.worker.TaskAgentSettings;
import org.crocuspost.worker.WorkerConditions;

/**
 * Holds a worker runtime and its agent, which runs in a virtual process and can be
 * restarted.
 */
public final class VirtualWorker implements WorkerConditions {

	private final TaskAgentSettings settings;

	private final String domain;

	private final ConfigurationSource configuration;

	private final VirtualTime time;

	private final WorkerStandIn runtime;

	private VirtualProcess process;

	private TaskAgent agent;

	private int incarnation;

	private int pressure;

	VirtualWorker(TaskAgentSettings settings, String domain, ConfigurationSource configuration, VirtualTime time,
			WorkerStandIn runtime) {
		this.settings = settings;
		this.domain = domain;
		this.configuration = configuration;
		this.time = time;
		this.runtime = runtime;
		this.process = new VirtualProcess(time);
		this.agent = new TaskAgent(settings, this, runtime, ReportContributor.NONE, time, this.process);
		this.agent.start();
	}

	/**
	 * Kills the agent's process and starts a new agent in a new process. The worker
	 * runtime and its tasks keep running.
	 */
	void restartAgent() {
		this.process.kill();
		this.incarnation++;
		this.process = new VirtualProcess(this.time);
		this.agent = new TaskAgent(this.settings, this, this.runtime, ReportContributor.NONE, this.time, this.process);
		this.agent.start();
	}

	PeerIdentity identity() {
		return new PeerIdentity(PeerIdentity.Role.AGENT, name(), name() + "-" + this.incarnation, this.domain);
	}

	/**
	 * Returns the name of the worker.
	 * @return the name
	 */
	public String name() {
		return this.settings.worker();
	}

	/**
	 * Returns the failure domain of the worker.
	 * @return the failure domain
	 */
	public String domain() {
		return this.domain;
	}

	/**
	 * Returns the capacity of the worker.
	 * @return the capacity
	 */
	public Resources capacity() {
		return this.settings.capacity();
	}

	/**
	 * Returns the worker runtime.
	 * @return the runtime
	 */
	public WorkerStandIn runtime() {
		return this.runtime;
	}

	/**
	 * Returns the agent's process.
	 * @return the process
	 */
	public VirtualProcess process() {
		return this.process;
	}

	/**
	 * Returns the agent.
	 * @return the agent
	 */
	public TaskAgent agent() {
		return this.agent;
	}

	/**
	 * Sets the service pressure that the agent reports.
	 * @param thousandths the latency of the service relative to its objective, in
	 * thousandths
	 */
	public void setServicePressure(int thousandths) {
		this.pressure = thousandths;
	}

	@Override
	public boolean domainOutOfService() {
		return false;
	}

	@Override
	public long configurationVersion() {
		return this.configuration.current().version();
	}

	@Override
	public Resources serviceReserve() {
		return Resources.NONE;
	}

	@Override
	public int servicePressure() {
		return this.pressure;
	}

}
