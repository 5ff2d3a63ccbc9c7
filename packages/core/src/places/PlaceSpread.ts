/** Takes items evenly over places. */
export class PlaceSpread {
  /**
   * Takes items in turns over their places, so that every place is present before one is used twice.
   * @param items - Items in the order of preference; the places take their turns in the order in which they first appear.
   * @param getPlace - Gets the place of an item.
   * @param limit - Largest number of items to take.
   */
  static takeEvenly<Item>(items: readonly Item[], getPlace: (item: Item) => string, limit: number): Item[] {
    const groups = new Map<string, Item[]>();
    items.forEach((item) => {
      const group = groups.get(getPlace(item));
      if (group === undefined) groups.set(getPlace(item), [item]);
      else group.push(item);
    });
    const taken: Item[] = [];
    // A loop with an end condition: rounds go on until the limit is reached or no group has an item left.
    for (let round = 0; taken.length < Math.min(limit, items.length); round += 1) {
      groups.forEach((group) => {
        const item = group[round];
        if (item !== undefined && taken.length < limit) taken.push(item);
      });
    }
    return taken;
  }
}
