// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.ring;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A consistent-hash ring. Its elements are ordered by a hash of their ids, and the arc of each
 * element is as long as its size. Insertion, removal, lookup by id and lookup by point visit a
 * logarithmic number of elements.
 *
 * <p>The ring is a treap (Seidel and Aragon, 1996). Its priorities are also hashes of the ids, and
 * each subtree stores the total length of its arcs. The same elements always form the same tree,
 * regardless of earlier insertions and removals. All nodes with the same elements therefore compute
 * exactly the same position for an arc, to the last bit. Not thread-safe.
 *
 * @param <E> type of the elements
 */
public final class ConsistentHashRing<E> {

    private static final class Node<E> {
        final long id;
        final double order;
        final long priority;
        final double size;
        final E element;
        Node<E> left;
        Node<E> right;

        /** Sum of the arcs of this subtree. */
        double length;

        Node(long id, double size, E element) {
            SplittableRandom hash = new SplittableRandom(id);
            this.id = id;
            this.order = hash.nextDouble();
            this.priority = hash.nextLong();
            this.size = size;
            this.element = element;
            this.length = size;
        }

        boolean precedes(Node<E> other) {
            return order < other.order || (order == other.order && id < other.id);
        }

        /** Returns whether this node belongs above another node in the tree. */
        boolean outranks(Node<E> other) {
            return priority > other.priority || (priority == other.priority && id < other.id);
        }

        void updateLength() {
            length = lengthOf(left) + size + lengthOf(right);
        }
    }

    private Node<E> root;
    private int count;
    private long visits;

    /** Returns the number of elements. */
    public int count() {
        return count;
    }

    /** Returns how many elements all calls so far have visited, as a measure of their cost. */
    public long visits() {
        return visits;
    }

    /** Returns the element with this id, or null if there is none. */
    public E get(long id) {
        Node<E> wanted = new Node<>(id, 0, null);
        Node<E> node = root;
        while (node != null && node.id != id) {
            visits++;
            node = wanted.precedes(node) ? node.left : node.right;
        }
        return node == null ? null : node.element;
    }

    /** Adds an element or replaces the one with the same id. Its size must be greater than 0. */
    public void put(long id, double size, E element) {
        remove(id);
        root = insert(root, new Node<>(id, size, element));
        count++;
    }

    /** Removes the element with this id, if there is one. */
    public void remove(long id) {
        if (get(id) != null) {
            root = remove(root, new Node<>(id, 0, null));
            count--;
        }
    }

    /**
     * Returns the element whose arc contains a point, or null if the ring is empty.
     *
     * @param point position of the point as a fraction of the ring's length, 0 to 1
     */
    public E at(double point) {
        Node<E> node = root;
        double remaining = point * lengthOf(root);
        while (node != null) {
            visits++;
            double before = lengthOf(node.left);
            if (remaining < before) {
                node = node.left;
            } else if (remaining < before + node.size || node.right == null) {
                return node.element;
            } else {
                remaining -= before + node.size;
                node = node.right;
            }
        }
        return null;
    }

    /** Returns a new list of the first elements in the order of the ring, at most {@code limit}. */
    public List<E> first(int limit) {
        List<E> found = new ArrayList<>(Math.min(limit, count));
        collect(root, limit, found);
        return found;
    }

    /** Passes all elements to an action, in the order of the ring. */
    public void forEach(Consumer<E> action) {
        first(count).forEach(action);
    }

    private void collect(Node<E> node, int limit, List<E> found) {
        if (node == null || found.size() >= limit) {
            return;
        }
        visits++;
        collect(node.left, limit, found);
        if (found.size() < limit) {
            found.add(node.element);
            collect(node.right, limit, found);
        }
    }

    private Node<E> insert(Node<E> node, Node<E> inserted) {
        visits++;
        if (node == null) {
            return inserted;
        }
        if (inserted.outranks(node)) {
            split(node, inserted);
            inserted.updateLength();
            return inserted;
        }
        if (inserted.precedes(node)) {
            node.left = insert(node.left, inserted);
        } else {
            node.right = insert(node.right, inserted);
        }
        node.updateLength();
        return node;
    }

    /**
     * Splits a subtree in two: nodes that precede {@code at} become its left subtree, the others
     * its right subtree.
     */
    private void split(Node<E> node, Node<E> at) {
        visits++;
        if (node == null) {
            at.left = null;
            at.right = null;
        } else if (node.precedes(at)) {
            split(node.right, at);
            node.right = at.left;
            node.updateLength();
            at.left = node;
        } else {
            split(node.left, at);
            node.left = at.right;
            node.updateLength();
            at.right = node;
        }
    }

    private Node<E> remove(Node<E> node, Node<E> wanted) {
        visits++;
        if (node.id == wanted.id) {
            return merge(node.left, node.right);
        }
        if (wanted.precedes(node)) {
            node.left = remove(node.left, wanted);
        } else {
            node.right = remove(node.right, wanted);
        }
        node.updateLength();
        return node;
    }

    /** Merges two subtrees. All nodes of the first must precede those of the second. */
    private Node<E> merge(Node<E> first, Node<E> second) {
        visits++;
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        if (first.outranks(second)) {
            first.right = merge(first.right, second);
            first.updateLength();
            return first;
        }
        second.left = merge(first, second.left);
        second.updateLength();
        return second;
    }

    private static double lengthOf(Node<?> node) {
        return node == null ? 0 : node.length;
    }
}
