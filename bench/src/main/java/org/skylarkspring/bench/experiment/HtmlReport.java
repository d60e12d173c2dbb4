package org.skylarkspring.bench.experiment;

import java.awt.image.BufferedImage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import javax.imageio.ImageIO;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Renders a self-contained HTML page with the result table and charts of a run.
 */
final class HtmlReport {

	private static final int CHART_WIDTH_PIXELS = 900;

	private static final int CHART_HEIGHT_PIXELS = 320;

	private static final int SMOOTHING_SECONDS = 5;

	private final List<ResultRow> rows;

	HtmlReport(List<ResultRow> rows) {
		this.rows = rows;
	}

	String render() throws IOException {
		StringBuilder page = new StringBuilder("<!doctype html><meta charset=\"utf-8\"><title>experiment</title>"
				+ "<style>body{font-family:sans-serif}pre{font-size:11px}</style><h1>Experiment</h1><pre>");
		page.append(ResultRow.formatHeader()).append('\n');
		this.rows.forEach((row) -> page.append(row.formatRow()).append('\n'));
		page.append("</pre>");
		Map<String, List<ResultRow>> groups = this.rows.stream()
			.collect(Collectors.groupingBy((row) -> row.deployment() + ", " + row.fault(), LinkedHashMap::new,
					Collectors.toList()));
		for (Map.Entry<String, List<ResultRow>> group : groups.entrySet()) {
			page.append("<h2>").append(group.getKey()).append("</h2>");
			page.append(renderImageElement(createBarChart("preemptions", group.getValue(), ResultRow::preemptions)));
			page.append(renderImageElement(
					createBarChart("goodput, tokens/s", group.getValue(), ResultRow::goodputTokensPerSecond)));
			page.append(renderImageElement(createBarChart("first token of the interactive class, p95, ms",
					group.getValue(), (row) -> row.interactive().firstTokenP95Millis())));
			page.append(renderImageElement(createThroughputChart(group.getValue())));
		}
		return page.toString();
	}

	private static JFreeChart createBarChart(String title, List<ResultRow> rows, ToDoubleFunction<ResultRow> value) {
		DefaultCategoryDataset data = new DefaultCategoryDataset();
		rows.forEach((row) -> data.addValue(value.applyAsDouble(row), row.policy(), row.loadPercent() + "%"));
		return ChartFactory.createBarChart(title, "load", "", data, PlotOrientation.VERTICAL, true, false, false);
	}

	private static JFreeChart createThroughputChart(List<ResultRow> rows) {
		XYSeriesCollection data = new XYSeriesCollection();
		rows.forEach((row) -> {
			XYSeries series = new XYSeries(row.policy() + " " + row.loadPercent() + "% #" + row.seed());
			long[] tokens = row.completedTokensBySecond();
			for (int second = SMOOTHING_SECONDS; second < tokens.length; second++) {
				double sum = 0;
				for (int back = 0; back < SMOOTHING_SECONDS; back++) {
					sum += tokens[second - back];
				}
				series.add(second, sum / SMOOTHING_SECONDS);
			}
			data.addSeries(series);
		});
		return ChartFactory.createXYLineChart("tokens of completed answers per second", "second", "", data);
	}

	private static String renderImageElement(JFreeChart chart) throws IOException {
		BufferedImage image = chart.createBufferedImage(CHART_WIDTH_PIXELS, CHART_HEIGHT_PIXELS);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		ImageIO.write(image, "png", bytes);
		return "<p><img alt=\"plot\" src=\"data:image/png;base64,"
				+ Base64.getEncoder().encodeToString(bytes.toByteArray()) + "\"></p>";
	}

}
