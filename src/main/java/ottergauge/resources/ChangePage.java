// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;

/**
 * An answer of a control process to a call for changes: all changes that a subscription follows, after the
 * version that was asked for and up to {@code upTo}, in their order. Changes that it doesn't follow are left
 * out, so that {@code upTo} may be past the last one.
 */
public record ChangePage(LogPosition upTo, List<Change> changes) { }
