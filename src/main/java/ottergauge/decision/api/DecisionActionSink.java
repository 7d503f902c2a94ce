// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** Receives the actions of the decision engine, in the order in which to carry them out. */
@FunctionalInterface
public interface DecisionActionSink {
    void accept(DecisionAction action);
}
