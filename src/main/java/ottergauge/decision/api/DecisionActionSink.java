// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** Takes the actions of the decision engine, in the order in which they are to be carried out. */
@FunctionalInterface
public interface DecisionActionSink {
    void accept(DecisionAction action);
}
