package org.crocuspost.bench.policy;

/**
 * Load of services over the hours of a day, relative to the peak.
 */
public enum DailyLoadProfile {

	/**
	 * Peaks for top-ups of cards in the morning and balance checks at noon.
	 */
	CANTEEN(6.5, 9, 11.5, 13) {

		@Override
		double load(double hour) {
			return 0.1 + 0.9 * gaussian(hour, 7.8, 0.9) + 0.6 * gaussian(hour, 12.2, 0.7)
					+ 0.25 * gaussian(hour, 17, 2.5);
		}

	},

	/**
	 * Peaks for arrivals before noon and departures in the evening.
	 */
	FESTIVAL(9, 12, 17, 21) {

		@Override
		double load(double hour) {
			return 0.12 + 0.6 * gaussian(hour, 10.5, 1.5) + 0.85 * gaussian(hour, 19, 1.8);
		}

	};

	private static final double DAY_BEGIN = 6;

	private static final double DAY_END = 21;

	private final double firstPeakBegin;

	private final double firstPeakEnd;

	private final double secondPeakBegin;

	private final double secondPeakEnd;

	DailyLoadProfile(double firstPeakBegin, double firstPeakEnd, double secondPeakBegin, double secondPeakEnd) {
		this.firstPeakBegin = firstPeakBegin;
		this.firstPeakEnd = firstPeakEnd;
		this.secondPeakBegin = secondPeakBegin;
		this.secondPeakEnd = secondPeakEnd;
	}

	/**
	 * Returns the load at a time of day.
	 * @param hour the hour, from 0 to 24
	 * @return the load relative to the peak
	 */
	abstract double load(double hour);

	/**
	 * Returns whether a time of day belongs to a peak, whose requests are also evaluated
	 * separately.
	 * @param hour the hour, from 0 to 24
	 * @return true within the peaks
	 */
	boolean isPeak(double hour) {
		return (hour >= this.firstPeakBegin && hour < this.firstPeakEnd)
				|| (hour >= this.secondPeakBegin && hour < this.secondPeakEnd);
	}

	/**
	 * Returns whether a time of day belongs to the daytime.
	 * @param hour the hour, from 0 to 24
	 * @return true from morning to evening
	 */
	boolean isDaytime(double hour) {
		return hour >= DAY_BEGIN && hour < DAY_END;
	}

	private static double gaussian(double hour, double centre, double width) {
		double distance = (hour - centre) / width;
		return Math.exp(-distance * distance / 2);
	}

}
