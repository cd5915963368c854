package org.crocuspost.dispatch;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that rows with names from workers and operators keep them, whatever they contain.
 */
class StoredNamesTests {

	/**
	 * Guards against tasks that wait until a lease lapses, since the record that their
	 * worker has left can't be read.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "i-7f3a91c2", "a worker", "", " ", "worker ", "{", "two\nlines" })
	void departureKeepsTheIdentityOfTheWorker(String worker) {
		Departure departure = new Departure(worker, 5, 17, "agent");
		assertThat(Departure.read(departure.write())).contains(departure);
		Departure ofAgent = new Departure("worker", 5, 17, worker);
		assertThat(Departure.read(ofAgent.write())).contains(ofAgent);
	}

	@ParameterizedTest
	@ValueSource(strings = { "queue", "a queue", "", " ", "{", "two\nlines", "queue 1 2 3 4" })
	void admissionFiguresKeepTheNamesOfQueuesAndImages(String name) {
		AdmissionFigures.Backlogs backlogs = new AdmissionFigures.Backlogs(new AdmissionFigures.Backlog(1, 2),
				AdmissionFigures.Backlog.NONE);
		AdmissionFigures figures = new AdmissionFigures(1, 2, 3, Map.of(name, backlogs), Set.of(name));
		assertThat(AdmissionFigures.read(figures.write())).isEqualTo(figures);
	}

	@ParameterizedTest
	@ValueSource(strings = { "image", "an image", " ", "{", "two\nlines", "image 3" })
	void pressuresKeepTheNamesOfImages(String image) {
		ImagePressure pressure = new ImagePressure();
		pressure.observe("", 2, Map.of(image, 0.5));
		ImagePressure restored = new ImagePressure();
		restored.restore(pressure.write());
		assertThat(restored.write()).isEqualTo(pressure.write());
	}

}
