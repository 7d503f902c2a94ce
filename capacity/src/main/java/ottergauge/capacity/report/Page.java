// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import java.util.List;

/** The page: the conditions under which it was measured, one per line, and its tables. */
public record Page(List<String> conditions, List<Section> sections) {}
