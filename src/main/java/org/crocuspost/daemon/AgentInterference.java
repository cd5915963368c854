package org.crocuspost.daemon;

import java.util.Optional;

import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.distribution.AgentConfiguration;
import org.crocuspost.distribution.ConfigurationReceiver;
import org.crocuspost.interference.InterferenceController;
import org.crocuspost.interference.InterferenceMessages;
import org.crocuspost.interference.InterferenceSettings;
import org.crocuspost.interference.ReportedPriors;
import org.crocuspost.interference.RunningAttemptsAdapter;
import org.crocuspost.interference.ServiceLatencyWindow;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.WorkerReport;
import org.crocuspost.wire.WorkerReportReply;
import org.crocuspost.worker.ReportContributor;
import org.crocuspost.worker.TaskAgent;
import org.jspecify.annotations.Nullable;

/**
 * Holds batch tasks back while they slow the service of the worker, and reports what it
 * learned. All of it but the record of latencies runs on the timer of the worker's agent.
 */
final class AgentInterference implements ReportContributor {

	private final String service;

	private final Resources capacity;

	private final ConfigurationReceiver receiver;

	private final Clock clock;

	private final ServiceLatencyWindow window;

	private final ReportedPriors priors = new ReportedPriors();

	private volatile @Nullable InterferenceController controller;

	private volatile boolean serving = true;

	private Cancellable repetition = () -> {
	};

	AgentInterference(String service, Resources capacity, ConfigurationReceiver receiver, Clock clock) {
		this.service = service;
		this.capacity = capacity;
		this.receiver = receiver;
		this.clock = clock;
		this.window = new ServiceLatencyWindow(clock);
	}

	/**
	 * Returns the latencies of the service, to which the gate adds.
	 * @return the window
	 */
	ServiceLatencyWindow window() {
		return this.window;
	}

	/**
	 * Starts to control the tasks of an agent.
	 * @param tasks the agent side of batch work
	 * @param timer the timer of that agent
	 */
	void start(TaskAgent tasks, Timer timer) {
		RunningAttemptsAdapter attempts = new RunningAttemptsAdapter(tasks);
		this.controller = new InterferenceController(InterferenceSettings.DEFAULT, this.clock, this.capacity,
				this.window, this.priors, attempts, attempts, attempts);
		this.repetition = timer.repeat(InterferenceSettings.DEFAULT.interval(), this::control);
	}

	void stop() {
		this.repetition.cancel();
	}

	/**
	 * Notes whether the endpoint takes requests. While it does not, no task is held back.
	 * @param value whether it does
	 */
	void serving(boolean value) {
		this.serving = value;
	}

	private void control() {
		InterferenceController current = this.controller;
		if (current == null) {
			return;
		}
		AgentConfiguration configuration = this.receiver.current();
		Optional<ServiceSpecification> declared = configuration.services()
			.stream()
			.filter((candidate) -> candidate.name().equals(this.service))
			.findFirst();
		boolean withdrawn = configuration.version() > 0 && declared.isEmpty();
		if (!this.serving || withdrawn) {
			current.liftThrottles();
			return;
		}
		declared.ifPresent((specification) -> current.control(this.service, specification.objective()));
	}

	/**
	 * Returns the latency of the service relative to its objective.
	 * @return the ratio in thousandths
	 */
	int pressureThousandths() {
		InterferenceController current = this.controller;
		return (current != null) ? current.pressureThousandths() : 0;
	}

	@Override
	public void contribute(WorkerReport.Builder report) {
		InterferenceController current = this.controller;
		if (current != null) {
			InterferenceMessages.addInterferenceData(current, this.service, report);
		}
	}

	@Override
	public void replyReceived(WorkerReportReply reply) {
		this.priors.update(reply);
	}

}
