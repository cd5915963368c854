package org.crocuspost.daemon;

import org.crocuspost.distribution.ConfigurationReceiver;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.worker.WorkerConditions;

/**
 * Conditions of a worker, taken from the configuration that the agent has received.
 */
final class AgentConditions implements WorkerConditions {

	private final ConfigurationReceiver receiver;

	private final Resources serviceReserve;

	private final AgentInterference interference;

	AgentConditions(ConfigurationReceiver receiver, Resources serviceReserve, AgentInterference interference) {
		this.receiver = receiver;
		this.interference = interference;
		this.serviceReserve = serviceReserve;
	}

	@Override
	public boolean domainOutOfService() {
		return !this.receiver.allowsTaskStarts();
	}

	@Override
	public long configurationVersion() {
		return this.receiver.current().version();
	}

	@Override
	public Resources serviceReserve() {
		return this.serviceReserve;
	}

	@Override
	public int servicePressure() {
		return this.interference.pressureThousandths();
	}

}
