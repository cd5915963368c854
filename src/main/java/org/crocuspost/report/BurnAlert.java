package org.crocuspost.report;

import java.time.Duration;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Urgency of the error budget burn of a service. An alert requires a high burn rate over
 * both a short and a long window: the long window prevents an alert for a brief spike,
 * the short window ends the alert soon after the cause is gone.
 */
public enum BurnAlert {

	/**
	 * The burn rates are too low for an alert: the budget lasts.
	 */
	NONE(0, Duration.ZERO, Duration.ZERO),

	/**
	 * At this rate, the budget of 30 days would be used up within 5 days.
	 */
	TICKET(6, Duration.ofMinutes(30), Duration.ofHours(6)),

	/**
	 * At this rate, the budget of 30 days would be used up within about 2 days.
	 */
	PAGE(14.4, Duration.ofMinutes(5), Duration.ofHours(1));

	/**
	 * Windows over which the burn rate is reported, shortest first.
	 */
	public static final List<Duration> WINDOWS = List.of(PAGE.shortWindow, TICKET.shortWindow, PAGE.longWindow,
			TICKET.longWindow);

	private final double burnRateThreshold;

	private final Duration shortWindow;

	private final Duration longWindow;

	BurnAlert(double burnRateThreshold, Duration shortWindow, Duration longWindow) {
		this.burnRateThreshold = burnRateThreshold;
		this.shortWindow = shortWindow;
		this.longWindow = longWindow;
	}

	static BurnAlert of(List<BurnWindow> windows) {
		for (BurnAlert alert : List.of(PAGE, TICKET)) {
			if (alert.isRaised(windows, BurnWindow::availabilityBurn)
					|| alert.isRaised(windows, BurnWindow::latencyBurn)) {
				return alert;
			}
		}
		return NONE;
	}

	private boolean isRaised(List<BurnWindow> windows, ToDoubleFunction<BurnWindow> burn) {
		return windows.stream()
			.filter((window) -> window.length().equals(this.shortWindow) || window.length().equals(this.longWindow))
			.allMatch((window) -> burn.applyAsDouble(window) > this.burnRateThreshold);
	}

}
