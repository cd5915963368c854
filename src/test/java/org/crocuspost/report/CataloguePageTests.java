package org.crocuspost.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

import org.crocuspost.distribution.DistributionEvent;
import org.crocuspost.error.ErrorCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CataloguePageTests {

	private static final Path CLASSES = Path.of("target/classes");

	@Test
	void pageListsEveryErrorCodeEventAndMetric() {
		Set<String> names = names(CataloguePage.render(CLASSES));
		for (ErrorCode code : ErrorCode.values()) {
			assertThat(names).contains(code.code());
		}
		assertThat(CataloguePage.events(CLASSES)).contains(DistributionEvent.values())
			.allSatisfy((event) -> assertThat(names).contains(event.eventName()));
		assertThat(CataloguePage.metrics()).isNotEmpty()
			.allSatisfy((metric) -> assertThat(names).contains(metric.getPrometheusName()));
	}

	@Test
	void committedPageListsOnlyExistingNames() throws IOException {
		Set<String> committedNames = names(Files.readString(Path.of("docs/operations/METRICS.md")));
		assertThat(committedNames).isNotEmpty();
		assertThat(names(CataloguePage.render(CLASSES))).containsAll(committedNames);
	}

	private static Set<String> names(String page) {
		return new TreeSet<>(Pattern.compile("^\\| `([^`]+)`", Pattern.MULTILINE)
			.matcher(page)
			.results()
			.map(CataloguePageTests::name)
			.toList());
	}

	private static String name(MatchResult match) {
		return match.group(1);
	}

}
