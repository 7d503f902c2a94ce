// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import java.util.List;

/** The whole page: how it was made, line by line, and its tables. */
public record Page(List<String> conditions, List<Section> sections) {}
